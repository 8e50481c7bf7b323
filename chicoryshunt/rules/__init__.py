"""Rules set by operators: routes, services, teams and limits."""
