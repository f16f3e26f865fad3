//! Replicated state as pure values: plan, call ledger, latches, membership.
