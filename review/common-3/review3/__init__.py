"""Stand-ins and checks of the third review's scripts."""
