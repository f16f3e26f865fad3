//! Command line of the example programs.

use std::{
    error::Error,
    io::{self, Read},
    net::SocketAddr,
};

use clap::{Arg, ArgMatches, Command};
use serde::de::DeserializeOwned;
use tokio::sync::watch;

use crate::{FakeServer, ListenAddresses};

/// Arguments shared by the example programs.
pub struct FakeArguments {
    matches: ArgMatches,
}

impl FakeArguments {
    /// Builds the command line of the program `name`, with the shared arguments.
    pub fn command(name: &'static str, about: &'static str) -> Command {
        Command::new(name)
            .about(about)
            .arg(address_argument("listen", "Address to serve on; port 0 picks a free port"))
            .arg(address_argument(
                "control",
                "Address of the HTTP control endpoint; port 0 picks a free port",
            ))
            .arg(
                Arg::new("config")
                    .long("config")
                    .value_name("JSON")
                    .default_value("{}")
                    .help("Configuration as a JSON object; missing fields take their defaults"),
            )
    }

    /// Parses the arguments of this process and exits with a message if they are wrong.
    pub fn parse(command: Command) -> FakeArguments {
        FakeArguments { matches: command.get_matches() }
    }

    /// Returns the addresses to listen on; one that is not given is a free loopback port.
    pub fn listen_addresses(&self) -> ListenAddresses {
        let free = ListenAddresses::default();
        let read = |name| self.matches.get_one::<SocketAddr>(name).copied();
        ListenAddresses {
            service: read("listen").unwrap_or(free.service),
            control: read("control").unwrap_or(free.control),
        }
    }

    /// Returns the value of an argument that the program has added by [`address_argument`].
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.matches.get_one::<SocketAddr>(name).copied()
    }

    /// Returns the configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration is not valid JSON or does not fit `T`.
    pub fn config<T: DeserializeOwned>(&self) -> Result<T, Box<dyn Error>> {
        let text = self.matches.get_one::<String>("config").map_or("{}", String::as_str);
        Ok(serde_json::from_str(text)?)
    }
}

/// Builds an argument that takes a socket address.
pub fn address_argument(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("ADDRESS")
        .value_parser(clap::value_parser!(SocketAddr))
        .help(help)
}

/// Prints the addresses of `server`, then waits until it gets `FaultCommand::Die` or standard input
/// ends.
pub async fn run_until_dead(server: &FakeServer) {
    println!("{} {}", server.address(), server.control_address());
    let mut dead = server.faults().connections().watch_dead();
    tokio::select! {
        _ = dead.wait_for(|dead| *dead) => {}
        () = wait_for_stdin_eof() => {}
    }
}

/// Waits for the end of standard input.
pub async fn wait_for_stdin_eof() {
    let ended = watch::Sender::new(false);
    let mut receiver = ended.subscribe();
    // A plain thread, because the runtime's shutdown would wait for a blocked read.
    std::thread::spawn(move || {
        let mut chunk = [0; 64];
        while matches!(io::stdin().read(&mut chunk), Ok(count) if count > 0) {}
        ended.send_replace(true);
    });
    let _ = receiver.wait_for(|ended| *ended).await;
}
