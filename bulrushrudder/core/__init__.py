"""Types that every other package shares."""
