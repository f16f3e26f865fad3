//! Model of VMs that compete for the lease. The VMs decide with [`DutyLease`]; store, clocks and
//! network are simulated, and every call to the store may be executed and answered at any time.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_core::MonoTime;
use dragonflycart_duties::{
    AppendResult, DutyLease, DutyRecord, DutyState, LeaseChange, LeaseStep, LeaseTerms, LeaseTime,
    LogTail, ReportContent, StateWrite, TeamCount,
};

use crate::fixtures::LEASE;

/// Number of VMs.
pub(crate) const VMS: usize = 3;

/// One event of a run. Indices are taken modulo the number of candidates.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ModelEvent {
    /// Time passes, in milliseconds.
    Pass(u64),
    /// A VM takes its next step and, if it may, acts.
    Step(usize),
    /// A holder decides the content of a report and takes its next step.
    Decide(usize),
    /// A VM takes its next step, and its call is executed and answered at once.
    Call(usize),
    /// A VM decides the content of a report, takes its next step and gives up waiting at once.
    Abandon(usize),
    /// The store executes a call.
    Execute(usize),
    /// The answer to an executed call arrives.
    Answer(usize),
    /// A VM gives up waiting for an answer. The call may still be executed.
    TimeOut(usize),
    /// A VM stops running.
    Freeze(usize),
    /// A VM is suspended: its steady clock stands still, too.
    Suspend(usize),
    /// A VM runs again.
    Thaw(usize),
    /// A VM restarts and loses its state.
    Restart(usize),
    /// The holder announces itself to another VM.
    Announce(usize),
    /// The store deletes its records.
    Forget,
}

#[derive(Debug, Clone)]
enum StoreCall {
    Append { at: u64, record: DutyRecord },
    Read,
}

#[derive(Debug, Clone)]
enum StoreAnswer {
    Append(AppendResult),
    Read(LogTail),
}

#[derive(Debug, Clone)]
struct OpenCall {
    vm: usize,
    boot: u64,
    call: StoreCall,
    answer: Option<StoreAnswer>,
    is_awaited: bool,
}

struct ModelVm {
    lease: DutyLease,
    boot: u64,
    /// Clock ticks per 1,000 ticks of true time.
    rate: u64,
    suspended_ms: u64,
    is_frozen: bool,
    is_suspended: bool,
    lost_at: Option<u64>,
}

#[derive(Debug, Clone, Copy)]
struct ModelAct {
    at: u64,
    vm: usize,
    number: u64,
}

/// State of a run.
pub(crate) struct LeaseModel {
    now: u64,
    vms: Vec<ModelVm>,
    log: Vec<DutyRecord>,
    /// Records before this offset were deleted.
    first: usize,
    calls: Vec<OpenCall>,
    acts: Vec<ModelAct>,
    /// VM and process that used each number.
    users: BTreeMap<u64, (usize, u64)>,
    sent: BTreeMap<u64, ReportContent>,
    decided: u64,
}

/// Start of the clocks, in milliseconds.
const START_MS: u64 = 100_000;

impl LeaseModel {
    /// Builds VMs that know nothing. Their clocks differ by up to one percent.
    pub(crate) fn new() -> LeaseModel {
        let mut vms = Vec::new();
        for vm in 0..VMS {
            let time = LeaseTime {
                steady: MonoTime::from_millis(START_MS),
                boot: MonoTime::from_millis(START_MS),
            };
            vms.push(ModelVm {
                lease: new_lease(vm, vm as u64, time),
                boot: vm as u64,
                rate: [1_005, 995, 1_000][vm],
                suspended_ms: 0,
                is_frozen: false,
                is_suspended: false,
                lost_at: None,
            });
        }
        LeaseModel {
            now: 0,
            vms,
            log: Vec::new(),
            first: 0,
            calls: Vec::new(),
            acts: Vec::new(),
            users: BTreeMap::new(),
            sent: BTreeMap::new(),
            decided: 0,
        }
    }

    /// Returns how often a holder acted.
    pub(crate) fn act_count(&self) -> usize {
        self.acts.len()
    }

    /// Returns how many claims took effect.
    pub(crate) fn holder_count(&self) -> usize {
        self.users.len()
    }

    /// Applies an event and checks the rules.
    pub(crate) fn apply(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Pass(ms) => {
                self.now += ms;
                for vm in &mut self.vms {
                    vm.suspended_ms += if vm.is_suspended { ms } else { 0 };
                }
            }
            ModelEvent::Step(vm) => self.step(vm % VMS, false),
            ModelEvent::Decide(vm) => self.step(vm % VMS, true),
            ModelEvent::Call(vm) => self.call(vm % VMS),
            ModelEvent::Abandon(vm) => self.abandon(vm % VMS),
            ModelEvent::Execute(index) => self.execute(index),
            ModelEvent::Answer(index) => self.answer(index),
            ModelEvent::TimeOut(index) => self.time_out(index),
            ModelEvent::Freeze(vm) => self.vms[vm % VMS].is_frozen = true,
            ModelEvent::Suspend(vm) => {
                let vm = &mut self.vms[vm % VMS];
                (vm.is_frozen, vm.is_suspended) = (true, true);
            }
            ModelEvent::Thaw(vm) => {
                let vm = &mut self.vms[vm % VMS];
                (vm.is_frozen, vm.is_suspended) = (false, false);
            }
            ModelEvent::Restart(vm) => self.restart(vm % VMS),
            ModelEvent::Announce(vm) => self.announce(vm % VMS),
            ModelEvent::Forget => self.first = self.log.len(),
        }
        let acting = (0..VMS).filter(|vm| {
            !self.vms[*vm].is_frozen && self.vms[*vm].lease.permit(self.time(*vm)).is_some()
        });
        assert!(acting.count() <= 1, "two VMs may act at the same time");
    }

    fn time(&self, vm: usize) -> LeaseTime {
        let state = &self.vms[vm];
        let steady_ms = (self.now - state.suspended_ms) * state.rate / 1_000;
        let boot_ms = self.now * state.rate / 1_000;
        LeaseTime {
            steady: MonoTime::from_millis(START_MS + steady_ms),
            boot: MonoTime::from_millis(START_MS + boot_ms),
        }
    }

    fn step(&mut self, vm: usize, is_deciding: bool) {
        if self.vms[vm].is_frozen {
            return;
        }
        self.act(vm);
        let time = self.time(vm);
        let decided = is_deciding.then(|| self.decide_report(vm)).flatten();
        let unknown = DutyState { last_window: 1_000_000 + self.now, ..DutyState::default() };
        let held = self.vms[vm].lease.held_number();
        let call = match self.vms[vm].lease.next_step(time, true, decided, &unknown) {
            LeaseStep::Wait => return,
            LeaseStep::Read { .. } => StoreCall::Read,
            LeaseStep::Append { at, record } => {
                if held != Some(record.number) {
                    self.check_claim(vm);
                }
                StoreCall::Append { at, record }
            }
        };
        let boot = self.vms[vm].boot;
        self.calls.push(OpenCall { vm, boot, call, answer: None, is_awaited: true });
    }

    fn check_claim(&self, vm: usize) {
        let lost_at = self.vms[vm].lost_at;
        let wait = (LEASE * 2).mul_f64(0.99).as_millis() as u64;
        assert!(
            lost_at.is_none_or(|at| self.now - at >= wait),
            "a VM that lost the lease claims it again too early"
        );
    }

    /// Returns the state with one more report, whose content no other VM would decide.
    fn decide_report(&mut self, vm: usize) -> Option<StateWrite> {
        let lease = &self.vms[vm].lease;
        lease.held_number()?;
        let mut usage = lease.state()?.clone();
        self.decided += 1;
        usage.last_window += 1;
        let counts = vec![TeamCount { team: "blue".to_owned(), count: self.decided }];
        usage.reports.push(ReportContent { window: usage.last_window, counts });
        if usage.reports.len() > 3 {
            usage.reports.remove(0);
        }
        Some(StateWrite { state: usage, is_due: true })
    }

    /// Makes the calls that the VM may make now, and checks them like the platform does.
    fn act(&mut self, vm: usize) {
        let time = self.time(vm);
        let state = &self.vms[vm];
        let boot = state.boot;
        let Some(permit) = state.lease.permit(time) else { return };
        let act = ModelAct { at: self.now, vm, number: permit.number };
        if let Some(usage) = state.lease.state() {
            for report in &usage.reports {
                let known = self.sent.entry(report.window).or_insert_with(|| report.clone());
                assert_eq!(known, report, "two reports of one window differ");
            }
        }
        let last = self.acts.last().map_or(0, |earlier| earlier.number);
        assert!(last <= act.number, "a number is lower than an earlier one");
        let user = *self.users.entry(act.number).or_insert((vm, boot));
        assert_eq!(user, (vm, boot), "two holders send the same number");
        let recent: Vec<&ModelAct> = self
            .acts
            .iter()
            .rev()
            .take_while(|earlier| self.now - earlier.at <= LEASE.as_millis() as u64)
            .collect();
        let between = recent.iter().position(|earlier| earlier.vm != vm);
        let is_alternating =
            between.is_some_and(|index| recent[index..].iter().any(|earlier| earlier.vm == vm));
        assert!(!is_alternating, "holders alternate within the lease time");
        self.acts.push(act);
    }

    fn call(&mut self, vm: usize) {
        let known = self.calls.len();
        self.step(vm, false);
        if self.calls.len() > known {
            self.execute_call(known);
            self.answer_call(known);
        }
    }

    fn abandon(&mut self, vm: usize) {
        let known = self.calls.len();
        self.step(vm, true);
        if self.calls.len() > known {
            self.time_out_call(known);
        }
    }

    fn execute(&mut self, index: usize) {
        let waiting: Vec<usize> =
            (0..self.calls.len()).filter(|call| self.calls[*call].answer.is_none()).collect();
        if waiting.is_empty() {
            return;
        }
        self.execute_call(waiting[index % waiting.len()]);
    }

    fn execute_call(&mut self, index: usize) {
        let answer = match self.calls[index].call.clone() {
            StoreCall::Append { at, .. } if at != self.log.len() as u64 => {
                StoreAnswer::Append(AppendResult::Conflict)
            }
            StoreCall::Append { at, record } => {
                self.log.push(record);
                StoreAnswer::Append(AppendResult::Appended { offset: at })
            }
            StoreCall::Read => {
                let is_kept = self.first < self.log.len();
                let last = self.log.last().filter(|_| is_kept).cloned();
                StoreAnswer::Read(LogTail { end: self.log.len() as u64, last })
            }
        };
        self.calls[index].answer = Some(answer);
        if !self.calls[index].is_awaited {
            self.calls.remove(index);
        }
    }

    fn answer(&mut self, index: usize) {
        let ready: Vec<usize> = (0..self.calls.len())
            .filter(|call| {
                let call = &self.calls[*call];
                call.answer.is_some() && !self.vms[call.vm].is_frozen
            })
            .collect();
        if ready.is_empty() {
            return;
        }
        self.answer_call(ready[index % ready.len()]);
    }

    fn answer_call(&mut self, index: usize) {
        let call = self.calls.remove(index);
        if call.boot != self.vms[call.vm].boot {
            return;
        }
        let time = self.time(call.vm);
        let lease = &mut self.vms[call.vm].lease;
        let change = match call.answer {
            Some(StoreAnswer::Append(result)) => lease.note_append(result, time),
            Some(StoreAnswer::Read(tail)) => lease.note_read(tail, time),
            None => None,
        };
        self.note_change(call.vm, change);
    }

    fn time_out(&mut self, index: usize) {
        let awaited: Vec<usize> = (0..self.calls.len())
            .filter(|call| {
                let call = &self.calls[*call];
                call.is_awaited && !self.vms[call.vm].is_frozen
            })
            .collect();
        if awaited.is_empty() {
            return;
        }
        self.time_out_call(awaited[index % awaited.len()]);
    }

    fn time_out_call(&mut self, index: usize) {
        self.calls[index].is_awaited = false;
        let call = self.calls[index].clone();
        if call.answer.is_some() {
            self.calls.remove(index);
        }
        if call.boot != self.vms[call.vm].boot {
            return;
        }
        let time = self.time(call.vm);
        let lease = &mut self.vms[call.vm].lease;
        let change = match call.call {
            StoreCall::Append { .. } => lease.note_append(AppendResult::Unknown, time),
            StoreCall::Read => {
                lease.note_read_failure(time);
                None
            }
        };
        self.note_change(call.vm, change);
    }

    fn note_change(&mut self, vm: usize, change: Option<LeaseChange>) {
        if let Some(LeaseChange::Lost { .. }) = change {
            self.vms[vm].lost_at = Some(self.now);
        }
    }

    fn restart(&mut self, vm: usize) {
        let boot = self.vms[vm].boot + VMS as u64;
        let time = self.time(vm);
        let state = &mut self.vms[vm];
        state.lease = new_lease(vm, boot, time);
        state.boot = boot;
        state.lost_at = None;
    }

    fn announce(&mut self, listener: usize) {
        let holder = (0..VMS).find(|vm| {
            let state = &self.vms[*vm];
            *vm != listener && !state.is_frozen && state.lease.permit(self.time(*vm)).is_some()
        });
        let Some(holder) = holder.filter(|_| !self.vms[listener].is_frozen) else { return };
        let lease = &self.vms[holder].lease;
        let (number, end) = (lease.held_number().unwrap_or(0), lease.log_end().unwrap_or(0));
        let time = self.time(listener);
        let name = vm_name(holder);
        let change = self.vms[listener].lease.note_announcement(&name, number, end, time);
        self.note_change(listener, change);
    }
}

fn vm_name(vm: usize) -> String {
    format!("vm-{vm}")
}

fn new_lease(vm: usize, boot: u64, now: LeaseTime) -> DutyLease {
    let turn = vm as f64 / VMS as f64;
    DutyLease::new(&vm_name(vm), boot, LeaseTerms::new(LEASE, turn), now)
}

/// Longest time that passes between two steps of a running VM in the model.
pub(crate) const LONGEST_PASS: Duration = Duration::from_millis(1_500);
