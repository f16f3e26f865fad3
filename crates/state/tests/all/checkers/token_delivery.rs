//! Invariant 1: each token is delivered exactly once, in order, from one generation.

use super::CheckResult;

/// Event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEvent {
    /// An engine was asked to continue after these token ids.
    Continued { epoch: u32, prefix: Vec<u32> },
    /// A token reached the caller.
    Delivered { generation: String, epoch: u32, index: u64, id: u32 },
    /// The end reached the caller.
    Ended { generation: String, epoch: u32, count: u64 },
}

/// Checks a trace of `generation`.
pub fn check(generation: &str, trace: &[StreamEvent]) -> CheckResult {
    let mut ids: Vec<u32> = Vec::new();
    let mut current = 0;
    let mut ended = false;
    for event in trace {
        match event {
            StreamEvent::Continued { epoch, prefix } => {
                if *prefix != ids || *epoch != current + 1 {
                    return Err(format!("epoch {epoch} does not continue what was delivered"));
                }
                current = *epoch;
            }
            StreamEvent::Delivered { generation: from, epoch, index, id } => {
                if ended || from != generation || *epoch != current || *index != ids.len() as u64 {
                    return Err(format!("token {from}:{epoch}:{index} after {} tokens", ids.len()));
                }
                ids.push(*id);
            }
            StreamEvent::Ended { generation: from, epoch, count } => {
                if ended || from != generation || *epoch != current || *count != ids.len() as u64 {
                    return Err(format!("end {from}:{epoch}:{count} after {} tokens", ids.len()));
                }
                ended = true;
            }
        }
    }
    Ok(())
}
