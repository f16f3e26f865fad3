//! Header names of a deployment.

/// Names of the headers that the gateway reads and sets, in lower case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeaderNames {
    /// Attempt ID set by the caller, echoed by the server that handled the request.
    pub attempt: &'static str,
    /// Milliseconds until the sender's deadline.
    pub time_left: &'static str,
    /// ID of the server that the request is for; any other server refuses it.
    pub expected_server: &'static str,
    /// ID of the server that responds to a health check.
    pub server_id: &'static str,
    /// Name of the caller's team.
    pub team: &'static str,
    /// Authentication scheme of the `Authorization` header, before a team's API key.
    pub auth_scheme: &'static str,
    /// Signature of a server over its response.
    pub signature: &'static str,
    /// Present if the server did not run the request.
    pub not_run: &'static str,
    /// Number of running requests, waiting requests and slots of a server, separated by commas. The
    /// pace may follow, in percent: how long work takes there at this moment, compared with usual.
    pub load: &'static str,
    /// Present if the server is going to shut down.
    pub leaving: &'static str,
    /// Milliseconds until a server's warm-up phase ends.
    pub cold_left: &'static str,
    /// Number of prompt tokens and maximum number of output tokens, separated by a comma.
    pub token_counts: &'static str,
    /// Caller's estimate of the number of output tokens.
    pub length_hint: &'static str,
    /// Prefixes of the prompt in order, as `id:tokens` separated by commas.
    pub prompt_prefixes: &'static str,
    /// Urgency at the engine, from 0, the most urgent, to 9.
    pub urgency: &'static str,
    /// Address and handle of the memory from which a generation resumes.
    pub resume_from: &'static str,
    /// Address of the engine that receives backup copies of a generation's memory.
    pub backup_at: &'static str,
    /// Further headers that only the gateway may set; those from callers are dropped.
    pub reserved: &'static [&'static str],
    /// Response headers of a server that are not forwarded to callers.
    pub internal: &'static [&'static str],
}

impl HeaderNames {
    /// Returns whether only the gateway may set a request header.
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
