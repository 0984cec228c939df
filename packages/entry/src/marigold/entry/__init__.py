"""The entry program: caller API, admission, routing and administration."""
