//! Parsing and execution of a command line.

use std::{ffi::OsString, io::Write, net::SocketAddr, path::PathBuf, time::Duration};

use clap::ArgMatches;
use dragonflycart_core::{PlanRevision, WallTime, ZoneName, ZoneState};

use crate::{
    AdminClient, CommandEnvironment, Console, ExitStatus, OperatorCredential, StatusClient,
    build_command,
    burn_command::run_burn,
    explain_command::explain,
    moves_command::{follow_moves, list_moves},
    placement_command::{read_question, show_placement},
    plan_command::PlanCommand,
    status_command::show_status,
    zone_command::change_zone,
};

/// Parsed command line and the environment in which it is run.
pub struct CommandRunner<'a> {
    matches: ArgMatches,
    environment: CommandEnvironment<'a>,
}

impl<'a> CommandRunner<'a> {
    /// Parses `args`, which start with the program name.
    ///
    /// # Errors
    ///
    /// Returns a message and an exit status if the command line is invalid or requests help.
    pub fn parse<I, T>(
        args: I,
        environment: CommandEnvironment<'a>,
    ) -> Result<CommandRunner<'a>, (String, ExitStatus)>
    where
        I: IntoIterator<Item = T>,
        T: Into<OsString> + Clone,
    {
        let matches = build_command().try_get_matches_from(args).map_err(|error| {
            let status = if error.use_stderr() { ExitStatus::Usage } else { ExitStatus::Done };
            (error.render().to_string(), status)
        })?;
        Ok(CommandRunner { matches, environment })
    }

    /// Runs the command.
    pub async fn run(&self, out: &mut dyn Write, err: &mut dyn Write) -> ExitStatus {
        let mut console = Console::new(out, err, self.matches.get_flag("json"));
        if let Some(arguments) = self.matches.subcommand_matches("placement") {
            return self.run_placement(&mut console, arguments).await;
        }
        let client = match self.build_client() {
            Ok(client) => client,
            Err(reason) if self.needs_client() => {
                console.diagnostic(&reason);
                return ExitStatus::Usage;
            }
            Err(_) => None,
        };
        self.dispatch(&mut console, client).await
    }

    /// Runs the command `placement`, which asks status addresses and needs no credential.
    async fn run_placement(&self, console: &mut Console<'_>, arguments: &ArgMatches) -> ExitStatus {
        let servers: Vec<SocketAddr> = self.servers().collect();
        if servers.is_empty() {
            console.diagnostic("no server: give --server ADDR with the status address of a VM");
            return ExitStatus::Usage;
        }
        let client = StatusClient::new(servers, self.seconds("timeout"));
        show_placement(console, &client, &read_question(arguments)).await
    }

    /// Returns whether the command needs a server. Only `explain` and `plan check` work without
    /// one.
    fn needs_client(&self) -> bool {
        if self.matches.subcommand_name() == Some("explain") {
            return false;
        }
        let plan = self.matches.subcommand_matches("plan");
        let offline = plan.is_some_and(|plan| plan.subcommand_name() == Some("check"));
        !offline || self.servers().next().is_some()
    }

    fn servers(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.matches.get_many::<SocketAddr>("server").into_iter().flatten().copied()
    }

    fn build_client(&self) -> Result<Option<AdminClient>, String> {
        let mut servers = Vec::new();
        for server in self.servers() {
            if !servers.contains(&server) {
                servers.push(server);
            }
        }
        if servers.is_empty() {
            return Err("no server: give --server ADDR, once for each VM".to_owned());
        }
        let file = self.matches.get_one::<PathBuf>("credential-file");
        let credential =
            OperatorCredential::load(file.map(PathBuf::as_path), self.environment.credential)
                .map_err(|error| error.to_string())?;
        Ok(Some(AdminClient::new(servers, credential, self.seconds("timeout"))))
    }

    fn seconds(&self, name: &str) -> Duration {
        Duration::from_secs(self.matches.get_one::<u64>(name).copied().unwrap_or_default())
    }

    async fn dispatch(&self, console: &mut Console<'_>, client: Option<AdminClient>) -> ExitStatus {
        let outcome_timeout = self.seconds("patience");
        let now: fn() -> WallTime = self.environment.now;
        let (group, matches) = self.matches.subcommand().unwrap_or(("", &self.matches));
        let (command, arguments) = matches.subcommand().unwrap_or(("", matches));
        if group == "plan" {
            let file = arguments.try_get_one::<PathBuf>("file").ok().flatten().cloned();
            let base = base_revision(arguments);
            let plan =
                PlanCommand { client, file: file.unwrap_or_default(), base, outcome_timeout, now };
            return plan.run(command, console).await;
        }
        if group == "explain" {
            let id = matches.get_one::<String>("id").map_or("", String::as_str);
            let files: Vec<PathBuf> =
                matches.get_many("logs").into_iter().flatten().cloned().collect();
            return explain(console, id, &files);
        }
        let Some(client) = client else { return ExitStatus::Usage };
        match (group, command) {
            ("zone", _) => {
                let state = if command == "out" { ZoneState::Out } else { ZoneState::In };
                let Some(zone) = arguments.get_one::<ZoneName>("zone") else {
                    return ExitStatus::Usage;
                };
                let flag = arguments.try_get_one::<bool>("emergency").ok().flatten();
                let emergency = flag.copied().unwrap_or_default();
                let wanted = (zone.clone(), state, emergency);
                change_zone(console, &client, wanted, base_revision(arguments), outcome_timeout)
                    .await
            }
            ("status", _) => show_status(console, &client, now).await,
            ("moves", "follow") => {
                let only = arguments.get_one::<String>("move").map(String::as_str);
                follow_moves(console, &client, only).await
            }
            ("moves", _) => list_moves(console, &client).await,
            ("burn", _) => {
                let page = arguments.get_one::<PathBuf>("html").map(PathBuf::as_path);
                run_burn(console, &client, page).await
            }
            _ => ExitStatus::Usage,
        }
    }
}

fn base_revision(arguments: &ArgMatches) -> Option<PlanRevision> {
    arguments.try_get_one::<u64>("base").ok().flatten().copied().map(PlanRevision)
}
