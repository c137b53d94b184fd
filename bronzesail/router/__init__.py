"""The router process: proxies requests to backend servers within prepaid budgets."""
