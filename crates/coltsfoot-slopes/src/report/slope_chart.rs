//! A slope as a picture.

use plotters::{
    chart::ChartBuilder,
    element::{Circle, PathElement},
    prelude::{IntoDrawingArea, SVGBackend},
    style::{BLACK, Color, RGBColor, WHITE},
};

use super::{LinearFit, MeasuredSlope};

const SIZE_PX: (u32, u32) = (640, 360);
const MARK_PX: i32 = 4;
const MARK_COLOUR: RGBColor = RGBColor(0, 114, 178);
/// Room above the highest point.
const HEADROOM: f64 = 1.1;

/// Draws points and fitted line; the text of an SVG document.
///
/// # Errors
///
/// If the plotting library fails.
pub fn draw(slope: &MeasuredSlope) -> anyhow::Result<String> {
    let mut text = String::new();
    let area = SVGBackend::with_string(&mut text, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let right = top(slope.points.iter().map(|(x, _)| *x));
    let upper = top(slope.points.iter().map(|(_, y)| *y));
    let mut chart = ChartBuilder::on(&area)
        .caption(&slope.name, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..right, 0.0..upper)?;
    chart.configure_mesh().x_desc(&slope.x_label).y_desc(&slope.y_label).draw()?;
    if let Some(fit) = LinearFit::of(&slope.points) {
        let ends = [(0.0, fit.at(0.0)), (right, fit.at(right))];
        chart.draw_series([PathElement::new(ends, BLACK.mix(0.5))])?;
    }
    let marks = slope.points.iter().map(|point| Circle::new(*point, MARK_PX, MARK_COLOUR.filled()));
    chart.draw_series(marks)?;
    area.present()?;
    drop(chart);
    drop(area);
    Ok(text)
}

fn top(values: impl Iterator<Item = f64>) -> f64 {
    values.fold(0.0, f64::max).max(f64::MIN_POSITIVE) * HEADROOM
}
