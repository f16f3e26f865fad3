//! Spreading of the VMs' reports.

mod report_recipients;

pub use self::report_recipients::ReportRecipients;
