//! Containment of prompts that crash engines.

mod crash_watch;

pub(crate) use self::crash_watch::CrashWatch;
