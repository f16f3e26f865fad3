//! Child process that a test can kill, pause or signal.

use std::{
    env,
    ffi::OsStr,
    fs,
    io::{self, BufRead, BufReader},
    path::{Path, PathBuf},
    process::{Child, ChildStdin, Command, Stdio},
    time::Duration,
};

/// Number of checks whether all threads have stopped after SIGSTOP; 2 s in total.
const STOP_CHECKS: u32 = 400;
const STOP_CHECK_PAUSE: Duration = Duration::from_millis(5);

/// Child process. Dropping it kills the process.
pub struct ChildProcess {
    child: Child,
    first_line: String,
    /// Kept open, because the fakes exit at the end of their standard input. So no fake outlives a
    /// test process that was killed.
    _stdin: Option<ChildStdin>,
}

impl ChildProcess {
    /// Starts `program` and waits for the first line of its standard output.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started or exits without printing a line.
    pub fn start<I>(program: &Path, arguments: I) -> io::Result<ChildProcess>
    where
        I: IntoIterator,
        I::Item: AsRef<OsStr>,
    {
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let stdin = child.stdin.take();
        let stdout = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut process = ChildProcess { child, first_line: String::new(), _stdin: stdin };
        let mut reader = BufReader::new(stdout);
        reader.read_line(&mut process.first_line)?;
        if process.first_line.is_empty() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        // The rest of the output is discarded, because a full pipe would block the child.
        std::thread::spawn(move || io::copy(&mut reader, &mut io::sink()));
        Ok(process)
    }

    /// Returns the first line of standard output, without the newline.
    pub fn first_line(&self) -> &str {
        self.first_line.trim_end()
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process and waits until it has exited.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Stops the process by SIGSTOP. Waits until all its threads have stopped, since threads on
    /// other CPUs keep running for a short time after the signal. The process's connections stay
    /// open, and its sockets still accept bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal can't be sent or the threads do not stop.
    pub fn pause(&self) -> io::Result<()> {
        self.signal("-STOP")?;
        for _ in 0..STOP_CHECKS {
            if self.all_threads_stopped()? {
                return Ok(());
            }
            std::thread::sleep(STOP_CHECK_PAUSE);
        }
        Err(io::ErrorKind::TimedOut.into())
    }

    /// Reads the thread states from `/proc`, where a stopped thread has the state `T`.
    fn all_threads_stopped(&self) -> io::Result<bool> {
        for task in fs::read_dir(format!("/proc/{}/task", self.id()))? {
            // The file is gone if the thread has just exited; the caller checks again.
            let Ok(stat) = fs::read_to_string(task?.path().join("stat")) else {
                return Ok(false);
            };
            // The state follows the thread's name, which is in parentheses and may itself contain
            // parentheses.
            let state = stat.rsplit_once(") ").and_then(|(_, rest)| rest.chars().next());
            if state != Some('T') {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Continues the process by SIGCONT after [`Self::pause`].
    ///
    /// # Errors
    ///
    /// Returns an error if the signal can't be sent.
    pub fn resume(&self) -> io::Result<()> {
        self.signal("-CONT")
    }

    /// Asks the process to exit by SIGTERM.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal can't be sent.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal("-TERM")
    }

    /// Asks the process to reload its configuration by SIGHUP.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn reload(&self) -> io::Result<()> {
        self.signal("-HUP")
    }

    /// Returns whether the process has exited.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn has_ended(&mut self) -> io::Result<bool> {
        Ok(self.child.try_wait()?.is_some())
    }

    fn signal(&self, signal: &str) -> io::Result<()> {
        let status = Command::new("kill").arg(signal).arg(self.id().to_string()).status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other(format!("`kill {signal}` failed with {status}")))
        }
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // The process may already have exited, and `drop` can't return an error.
        let _ = self.kill();
    }
}

/// Finds a program in the directories above the running test's executable, where cargo builds it:
/// for example `examples/fake_engine` or `dragonflycartd`.
///
/// # Errors
///
/// Returns an error that names the program if it is not found.
pub fn find_program(name: &str) -> io::Result<PathBuf> {
    let current = env::current_exe()?;
    for directory in current.ancestors().skip(1) {
        let candidate = directory.join(name);
        if candidate.is_file() {
            return Ok(candidate);
        }
    }
    Err(io::Error::new(io::ErrorKind::NotFound, format!("{name} is not built")))
}
