"""What is known of endpoints and purges, and the change log that it comes from."""
