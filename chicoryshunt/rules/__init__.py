"""What operators have in force: routes, services, teams and limits."""
