//! Engine model on virtual time, experiment scenarios and plots.
