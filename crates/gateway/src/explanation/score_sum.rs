//! Sum of the parts of a score.

use dragonflycart_explanation::ScorePart;

/// Sum of the parts of a score. The score is computed once for both implementations, so that the
/// explained score is the one by which a server is chosen: placement needs only the number, and the
/// explanation also its parts.
pub(crate) trait ScoreSum: Default {
    /// Adds a part.
    fn add(&mut self, part: ScorePart, value: f64);

    /// Adds a product. The first part is the value, and the second one what the factor changes.
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
