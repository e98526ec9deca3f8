"""Order lease and engine orders; one holder per data centre at a time."""
