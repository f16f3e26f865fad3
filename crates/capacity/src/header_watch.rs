//! Notices when a server's load header becomes unusable or usable again.

use std::time::Duration;

use dragonflycart_core::MonoTime;

use crate::HeaderFault;

/// Number of usable headers in a row after which a server's header counts as usable again.
const USABLE_IN_A_ROW: u32 = 3;
/// Minimum time between two reported changes of one server, so that a server whose header alternates
/// does not fill the log.
const CHANGE_SPACING: Duration = Duration::from_secs(10);

/// Usability of one server's load header.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct HeaderWatch {
    /// Whether the server ever sent a load header.
    is_sent: bool,
    /// Number of usable headers since the last unusable one.
    usable: u32,
    fault: Option<HeaderFault>,
    /// What was last reported, and when.
    told: Option<(Option<HeaderFault>, MonoTime)>,
}

impl HeaderWatch {
    /// Records a response. Returns the new state if it is to be reported: the fault of an unusable
    /// header, or `None` inside for a usable one.
    pub(crate) fn note(
        &mut self,
        fault: Option<HeaderFault>,
        now: MonoTime,
    ) -> Option<Option<HeaderFault>> {
        match fault {
            // Some services never send the header.
            Some(HeaderFault::Absent) if !self.is_sent => return None,
            Some(fault) => {
                self.usable = 0;
                self.fault = Some(fault);
            }
            None => {
                self.usable = self.usable.saturating_add(1);
                if self.usable >= USABLE_IN_A_ROW {
                    self.fault = None;
                }
            }
        }
        self.is_sent = true;
        let (told, told_at) = match self.told {
            Some((told, at)) => (told, Some(at)),
            None => (None, None),
        };
        let is_spaced = told_at.is_none_or(|at| now.since(at) >= CHANGE_SPACING);
        if told.is_some() == self.fault.is_some() || !is_spaced {
            return None;
        }
        self.told = Some((self.fault, now));
        Some(self.fault)
    }
}
