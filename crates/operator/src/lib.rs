//! The operators' command line as a library: plan files, the client and types of the administration
//! API, and reports.

pub mod api;

mod admin_client;
mod admin_error;
mod burn_alert;
mod burn_command;
mod burn_report_builder;
mod burn_page;
mod burn_report;
mod command_line;
mod command_runner;
mod console;
mod credential_error;
mod entry_point;
mod exit_status;
mod explain_command;
mod moves_command;
mod objective_report;
mod operator_credential;
mod placement_command;
mod plan_command;
mod plan_difference;
mod plan_sheet;
mod plan_submission;
mod request_explanation;
mod row_kind;
mod sheet_checker;
mod sheet_column;
mod sheet_context;
mod sheet_problem;
mod sheet_reader;
mod sheet_row;
mod status_client;
mod status_command;
mod command_environment;
mod text_table;
mod time_text;
mod worst_entry;
mod zone_command;

pub use crate::{
    admin_client::AdminClient,
    admin_error::AdminError,
    burn_alert::BurnAlert,
    burn_page::BurnPage,
    burn_report::BurnReport,
    burn_report_builder::BurnReportBuilder,
    command_environment::CommandEnvironment,
    command_line::build_command,
    command_runner::CommandRunner,
    console::Console,
    credential_error::CredentialError,
    entry_point::{main_with_args, run_command},
    exit_status::ExitStatus,
    objective_report::ObjectiveReport,
    operator_credential::{CREDENTIAL_VARIABLE, OperatorCredential},
    plan_difference::PlanDifference,
    plan_sheet::PlanSheet,
    plan_submission::PlanSubmission,
    request_explanation::{LogLine, RequestExplanation},
    row_kind::RowKind,
    sheet_checker::SheetChecker,
    sheet_column::SheetColumn,
    sheet_context::SheetContext,
    sheet_problem::SheetProblem,
    sheet_reader::SheetReader,
    sheet_row::SheetRow,
    status_client::StatusClient,
    text_table::TextTable,
    time_text::{format_time, parse_time},
    worst_entry::WorstEntry,
};
