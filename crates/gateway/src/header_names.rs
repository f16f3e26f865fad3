//! Header names of a deployment.

/// Names of the headers that the system reads and sets, in lower case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeaderNames {
    /// Identity of a caller's attempt, echoed by the server that handled it.
    pub attempt: &'static str,
    /// Milliseconds for which the sender still waits.
    pub time_left: &'static str,
    /// Identity of the server that the request is for; any other refuses it.
    pub expected_server: &'static str,
    /// Identity of the server that answers a status check.
    pub server_id: &'static str,
    /// Name of the caller's team.
    pub team: &'static str,
    /// Scheme of the `Authorization` header that precedes a team's key.
    pub auth_scheme: &'static str,
    /// Signature of a server over its response.
    pub signature: &'static str,
    /// States that a server did not run the request.
    pub not_run: &'static str,
    /// Running requests, waiting requests and slots of a server, separated by commas.
    pub load: &'static str,
    /// Milliseconds for which a server stays cold.
    pub cold_left: &'static str,
    /// Prompt tokens and largest number of output tokens, separated by a comma.
    pub token_counts: &'static str,
    /// Caller's estimate of the number of output tokens.
    pub length_hint: &'static str,
    /// Shared parts of a prompt in order, as `id:tokens` separated by commas.
    pub prompt_prefixes: &'static str,
    /// Urgency at the engine from 0, the most urgent, to 9.
    pub urgency: &'static str,
    /// Address and handle of the memory from which a generation goes on.
    pub resume_from: &'static str,
    /// Address of the engine that receives copies of a generation's memory.
    pub backup_at: &'static str,
    /// Further headers that only the system may set; a caller's are dropped.
    pub reserved: &'static [&'static str],
    /// Headers of a server that callers are not shown.
    pub internal: &'static [&'static str],
}

impl HeaderNames {
    /// Returns whether only the system may set a header of a request.
    pub fn is_set_by_system(&self, name: &str) -> bool {
        let own = [
            self.time_left,
            self.expected_server,
            self.team,
            self.urgency,
            self.resume_from,
            self.backup_at,
        ];
        own.contains(&name) || self.reserved.contains(&name)
    }
}
