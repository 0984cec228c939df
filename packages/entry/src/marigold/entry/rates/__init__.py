"""Request rates of runners: cold runners, and limits that runners name themselves."""
