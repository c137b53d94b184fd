"""The router process: callers' requests, backend servers, budgets and the store."""
