//! At-most-once ledger for keyed non-idempotent requests.
