//! Retry accounts: the bound on retries of one client request.
