//! Sum of the parts of a score.

use dragonflycart_explanation::ScorePart;

/// Sum of the parts of a score. Placement uses the implementation for `f64`, which keeps only the
/// sum, and the explanation the one that also keeps the parts. Both use the same formula, so the
/// explained score is the one by which a server is chosen.
pub(crate) trait ScoreSum: Default {
    /// Adds a part.
    fn add(&mut self, part: ScorePart, value: f64);

    /// Adds the product of a value and a factor. The value counts as one part, and the change by
    /// the factor as the other one.
    fn add_product(&mut self, value: (ScorePart, f64), factor: (ScorePart, f64));

    /// Adds another sum.
    fn merge(&mut self, other: Self);
}

impl ScoreSum for f64 {
    fn add(&mut self, _part: ScorePart, value: f64) {
        *self += value;
    }

    fn add_product(&mut self, (_, value): (ScorePart, f64), (_, factor): (ScorePart, f64)) {
        *self += value * factor;
    }

    fn merge(&mut self, other: f64) {
        *self += other;
    }
}
