"""Discovery: the endpoints and purges that the router knows, and the change log that reports them."""
