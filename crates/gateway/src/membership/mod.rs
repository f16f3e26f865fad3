//! Knowledge of other VMs and of leaving servers.

pub(crate) mod leave_survey;
mod report_recipients;

pub use self::{leave_survey::SurveyedEngine, report_recipients::ReportRecipients};
