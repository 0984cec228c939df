"""Plans for the spread of new weights, shared by both programs."""
