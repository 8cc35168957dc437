"""What clients speak to."""
