//! Score with its parts.

use std::collections::BTreeMap;

use dragonflycart_explanation::ScorePart;

use super::ScoreSum;

/// Score of a server with its parts.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ScoreParts {
    /// Score, added up in the same order as for a placement.
    pub total: f64,
    /// Parts of the score.
    pub parts: BTreeMap<ScorePart, f64>,
}

impl ScoreParts {
    fn add_part(&mut self, part: ScorePart, value: f64) {
        *self.parts.entry(part).or_default() += value;
    }
}

impl ScoreSum for ScoreParts {
    fn add(&mut self, part: ScorePart, value: f64) {
        self.total += value;
        self.add_part(part, value);
    }

    fn add_product(&mut self, (part, value): (ScorePart, f64), factor: (ScorePart, f64)) {
        let product = value * factor.1;
        self.total += product;
        self.add_part(part, value);
        self.add_part(factor.0, product - value);
    }

    fn merge(&mut self, other: ScoreParts) {
        self.total += other.total;
        for (part, value) in other.parts {
            self.add_part(part, value);
        }
    }
}
