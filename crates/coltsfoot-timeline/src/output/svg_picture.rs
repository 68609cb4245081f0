//! The time line as a picture.

use std::fmt::Display;

use coltsfootroute::{
    event::{EventKind, EventLevel, EventRecord, HybridStamp},
    id::NodeId,
};
use indexmap::IndexSet;
use plotters::{
    chart::{ChartBuilder, ChartContext},
    coord::{Shift, types::RangedCoordf64},
    drawing::DrawingArea,
    element::{Circle, PathElement, Rectangle, Text},
    prelude::{Cartesian2d, IntoDrawingArea, SVGBackend},
    style::{BLACK, Color, RGBColor, WHITE},
};

use super::SvgError;
use crate::merge::{EventGap, TimelineEntry};

const WIDTH_PX: u32 = 1_400;
const ROW_PX: u32 = 36;
/// Title, axis and margins.
const FRAME_PX: u32 = 110;
const LABEL_PX: u32 = 170;
const LABEL_LEFT_PX: i32 = 12;
const LABEL_FONT_PX: i32 = 16;
const MARK_PX: i32 = 4;
/// Half the height of a gap's box, in rows.
const GAP_HALF_HEIGHT: f64 = 0.3;

const REFUSAL_COLOUR: RGBColor = RGBColor(213, 94, 0);
const RETRY_COLOUR: RGBColor = RGBColor(204, 121, 167);
const CALL_COLOUR: RGBColor = RGBColor(0, 114, 178);
const CHANGE_COLOUR: RGBColor = RGBColor(0, 158, 115);
const FAULT_COLOUR: RGBColor = RGBColor(200, 0, 0);
const GAP_COLOUR: RGBColor = RGBColor(240, 200, 60);

type TimeChart<'a> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// A picture of the time line: time to the right, one row a host, a mark an event, a box a gap.
pub struct SvgPicture<'a> {
    entries: &'a [TimelineEntry],
    /// One row each, in order of address; also hosts without an entry.
    hosts: IndexSet<NodeId>,
    /// Join all events in order, as the path of one request.
    joins_events: bool,
    /// Time at the left edge, in milliseconds.
    start_ms: u64,
    /// Time shown, in milliseconds; above 0.
    span_ms: f64,
}

impl<'a> SvgPicture<'a> {
    /// A picture of `entries`, with a row for each of `hosts` and for each host of an entry.
    pub fn new(entries: &'a [TimelineEntry], hosts: impl IntoIterator<Item = NodeId>) -> Self {
        let mut hosts: IndexSet<NodeId> = hosts.into_iter().collect();
        hosts.extend(entries.iter().map(TimelineEntry::node));
        hosts.sort_unstable();
        let times = || entries.iter().map(|entry| stamp_of(entry).wall_ms);
        let start_ms = times().min().unwrap_or(0);
        let end_ms = times().max().unwrap_or(0);
        let span_ms = (end_ms - start_ms).max(1) as f64;
        Self { entries, hosts, joins_events: false, start_ms, span_ms }
    }

    /// Joins the events by a line in their order: the path of one request through the hosts.
    pub fn with_joined_events(mut self, joins_events: bool) -> Self {
        self.joins_events = joins_events;
        self
    }

    /// Draws the picture; the text of an SVG document.
    ///
    /// # Errors
    ///
    /// [`SvgError`] if the plotting library fails.
    pub fn draw(&self) -> Result<String, SvgError> {
        let mut text = String::new();
        let rows = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX).max(1);
        let height = rows.saturating_mul(ROW_PX).saturating_add(FRAME_PX);
        let area = SVGBackend::with_string(&mut text, (WIDTH_PX, height)).into_drawing_area();
        self.draw_on(&area)?;
        drop(area);
        Ok(text)
    }

    fn draw_on(&self, area: &DrawingArea<SVGBackend<'_>, Shift>) -> Result<(), SvgError> {
        area.fill(&WHITE).map_err(svg_error)?;
        let rows = self.hosts.len().max(1) as f64;
        let mut chart = ChartBuilder::on(area)
            .caption(self.caption(), ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(40)
            .y_label_area_size(LABEL_PX)
            .build_cartesian_2d(0.0..self.span_ms, -0.5..rows - 0.5)
            .map_err(svg_error)?;
        self.draw_rows(&mut chart)?;
        self.draw_labels(area, &chart)?;
        self.draw_gaps(&mut chart)?;
        self.draw_path(&mut chart)?;
        self.draw_events(&mut chart)?;
        area.present().map_err(svg_error)
    }

    fn caption(&self) -> String {
        format!("{} events of {} hosts", self.records().count(), self.hosts.len())
    }

    fn draw_rows(&self, chart: &mut TimeChart<'_>) -> Result<(), SvgError> {
        chart
            .configure_mesh()
            .disable_y_mesh()
            .y_labels(0)
            .x_desc(format!("milliseconds since {}", self.start_ms))
            .draw()
            .map_err(svg_error)?;
        for row in 0..self.hosts.len() {
            let y = self.y_of_row(row);
            let line = PathElement::new([(0.0, y), (self.span_ms, y)], BLACK.mix(0.15));
            chart.draw_series([line]).map_err(svg_error)?;
        }
        Ok(())
    }

    /// Labels go on the whole area: they stand left of the chart.
    fn draw_labels(
        &self,
        area: &DrawingArea<SVGBackend<'_>, Shift>,
        chart: &TimeChart<'_>,
    ) -> Result<(), SvgError> {
        for (row, host) in self.hosts.iter().enumerate() {
            let (_, middle) = chart.backend_coord(&(0.0, self.y_of_row(row)));
            let position = (LABEL_LEFT_PX, middle - LABEL_FONT_PX / 2);
            let label = Text::new(host.to_string(), position, ("sans-serif", LABEL_FONT_PX));
            area.draw(&label).map_err(svg_error)?;
        }
        Ok(())
    }

    fn draw_gaps(&self, chart: &mut TimeChart<'_>) -> Result<(), SvgError> {
        let boxes = self.gaps().map(|gap| {
            let y = self.y_of(gap.node);
            let left = gap.after.map_or(0.0, |stamp| self.x_of(stamp));
            let right = self.x_of(gap.before);
            let corners = [(left, y - GAP_HALF_HEIGHT), (right, y + GAP_HALF_HEIGHT)];
            Rectangle::new(corners, GAP_COLOUR.mix(0.6).filled())
        });
        chart.draw_series(boxes).map_err(svg_error)?;
        Ok(())
    }

    fn draw_path(&self, chart: &mut TimeChart<'_>) -> Result<(), SvgError> {
        if !self.joins_events {
            return Ok(());
        }
        let points: Vec<_> = self.records().map(|record| self.point_of(record)).collect();
        chart.draw_series([PathElement::new(points, CALL_COLOUR.mix(0.5))]).map_err(svg_error)?;
        Ok(())
    }

    fn draw_events(&self, chart: &mut TimeChart<'_>) -> Result<(), SvgError> {
        let marks = self.records().map(|record| {
            let colour = colour_of(&record.kind);
            Circle::new(self.point_of(record), MARK_PX, colour.filled())
        });
        chart.draw_series(marks).map_err(svg_error)?;
        Ok(())
    }

    fn records(&self) -> impl Iterator<Item = &EventRecord> {
        self.entries.iter().filter_map(|entry| match entry {
            TimelineEntry::Event(record) => Some(record),
            TimelineEntry::Gap(_) => None,
        })
    }

    fn gaps(&self) -> impl Iterator<Item = &EventGap> {
        self.entries.iter().filter_map(|entry| match entry {
            TimelineEntry::Event(_) => None,
            TimelineEntry::Gap(gap) => Some(gap),
        })
    }

    fn point_of(&self, record: &EventRecord) -> (f64, f64) {
        (self.x_of(record.stamp), self.y_of(record.node))
    }

    fn x_of(&self, stamp: HybridStamp) -> f64 {
        stamp.wall_ms.saturating_sub(self.start_ms) as f64
    }

    fn y_of(&self, node: NodeId) -> f64 {
        // Every entry's node is in `hosts`.
        self.y_of_row(self.hosts.get_index_of(&node).unwrap_or(0))
    }

    /// The first host is at the top.
    fn y_of_row(&self, row: usize) -> f64 {
        (self.hosts.len() - 1 - row) as f64
    }
}

fn stamp_of(entry: &TimelineEntry) -> HybridStamp {
    match entry {
        TimelineEntry::Event(record) => record.stamp,
        TimelineEntry::Gap(gap) => gap.before,
    }
}

fn colour_of(kind: &EventKind) -> RGBColor {
    match kind {
        EventKind::RequestRefused { .. } => REFUSAL_COLOUR,
        EventKind::RetryGranted { .. } | EventKind::RetryDenied { .. } => RETRY_COLOUR,
        _ => match kind.level() {
            EventLevel::Error | EventLevel::Warn => FAULT_COLOUR,
            EventLevel::Info => CHANGE_COLOUR,
            EventLevel::Debug => CALL_COLOUR,
        },
    }
}

fn svg_error(error: impl Display) -> SvgError {
    SvgError(error.to_string())
}
