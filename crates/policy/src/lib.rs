//! Decisions as pure values: placement, admission, fairness, limits, retries, version moves.
