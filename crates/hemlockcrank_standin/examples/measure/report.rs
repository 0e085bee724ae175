//! Reports: rows of named figures, as text or JSON.

use serde::Serialize;

/// One row: the case that was run, and its figures by name.
#[derive(Debug, Serialize)]
pub(crate) struct Row {
    pub(crate) case: String,
    pub(crate) figures: Vec<(&'static str, f64)>,
}

/// Result of a measurement; `setting` describes its conditions.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    pub(crate) name: &'static str,
    pub(crate) setting: String,
    pub(crate) rows: Vec<Row>,
}

impl Report {
    pub(crate) fn new(name: &'static str, setting: impl Into<String>) -> Self {
        Self {
            name,
            setting: setting.into(),
            rows: Vec::new(),
        }
    }

    pub(crate) fn row(&mut self, case: impl Into<String>, figures: Vec<(&'static str, f64)>) {
        self.rows.push(Row {
            case: case.into(),
            figures,
        });
    }

    pub(crate) fn render(&self, json: bool) -> String {
        if json {
            return serde_json::to_string_pretty(self).unwrap_or_default();
        }
        let mut text = format!("{}: {}\n", self.name, self.setting);
        for row in &self.rows {
            let figures = row
                .figures
                .iter()
                .map(|(name, value)| format!("{name} {value:.2}"));
            let figures: Vec<String> = figures.collect();
            text.push_str(&format!("  {:<44} {}\n", row.case, figures.join(", ")));
        }
        text
    }
}

/// The value nearest to the quantile `fraction`, from 0 to 1; 0 if there are no values. Sorts the
/// values.
pub(crate) fn quantile(values: &mut [f64], fraction: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    let index = (last as f64 * fraction).round() as usize;
    values.get(index).copied().unwrap_or(0.0)
}
