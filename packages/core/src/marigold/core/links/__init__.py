"""Links between the processes of the system."""
