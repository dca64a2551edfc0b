//! What may be tried again, and the budget for it.
