//! All problems of a settings file.

use std::fmt;

use crate::ConfigProblem;

/// All problems found in one pass, in the order of the checks.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ConfigProblems {
    problems: Vec<ConfigProblem>,
}

impl ConfigProblems {
    pub(crate) fn push(&mut self, problem: ConfigProblem) {
        self.problems.push(problem);
    }

    /// Returns the problems.
    pub fn as_slice(&self) -> &[ConfigProblem] {
        &self.problems
    }

    /// Returns whether no problem was found.
    pub fn is_empty(&self) -> bool {
        self.problems.is_empty()
    }
}

impl fmt::Display for ConfigProblems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigProblems {}
