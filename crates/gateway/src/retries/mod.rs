//! Limits on repeated requests.

mod offer_history;
mod retry_budget;
mod retry_limit;

pub use self::{offer_history::OfferHistory, retry_budget::RetryBudget, retry_limit::RetryLimit};
