"""Hubs: one entry of each cell that watches the store and places requests.

A cell is a data centre, or the whole deployment where it is small. The entries of
a cell rank themselves by a hash, and the first that lives is its hub: it passes on
what the store tells and knows of all requests at the engines of the cell. Its death
loses nothing that lasts; the next one in the order takes over, and entries decide
for themselves meanwhile.
"""
