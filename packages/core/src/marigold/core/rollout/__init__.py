"""Planning of the distribution of new weights, shared by both programs."""
