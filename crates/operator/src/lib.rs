//! The operators' command line as a library: the plan file, the administration API and reports.

pub mod api;

mod admin_client;
mod admin_error;
mod console;
mod exit_status;
mod operator_credential;
mod plan_difference;
mod plan_sheet;
mod row_kind;
mod sheet_checker;
mod sheet_column;
mod sheet_context;
mod sheet_problem;
mod sheet_reader;
mod sheet_row;
mod text_table;
mod time_text;

pub use crate::{
    admin_client::AdminClient,
    admin_error::AdminError,
    console::Console,
    exit_status::ExitStatus,
    operator_credential::{CREDENTIAL_VARIABLE, CredentialError, OperatorCredential},
    plan_difference::PlanDifference,
    plan_sheet::PlanSheet,
    row_kind::RowKind,
    sheet_checker::SheetChecker,
    sheet_column::SheetColumn,
    sheet_context::SheetContext,
    sheet_problem::SheetProblem,
    sheet_reader::SheetReader,
    sheet_row::SheetRow,
    text_table::TextTable,
    time_text::{format_time, parse_time},
};
