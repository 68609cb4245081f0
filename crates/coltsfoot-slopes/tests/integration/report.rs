//! Fit, tables of points and the parsing of processor time.

use std::time::Duration;

use coltsfoot_slopes::{
    processor_clock,
    report::{LinearFit, MeasuredSlope, draw},
};
use rstest::rstest;

fn slope(points: &[(f64, f64)]) -> MeasuredSlope {
    let mut slope = MeasuredSlope::new("bytes", "nodes", "bytes/s");
    points.iter().for_each(|(x, y)| slope.push(*x, *y));
    slope
}

#[rstest]
#[case::line(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)], 2.0, 1.0, 0.0)]
#[case::flat(&[(1.0, 4.0), (5.0, 4.0)], 0.0, 4.0, 0.0)]
#[case::bent(&[(0.0, 0.0), (1.0, 3.0), (2.0, 0.0)], 0.0, 1.0, 2.0_f64.sqrt())]
fn the_line_has_the_least_squares(
    #[case] points: &[(f64, f64)],
    #[case] slope: f64,
    #[case] intercept: f64,
    #[case] residual: f64,
) {
    let fit = LinearFit::of(points).expect("two different x");

    assert_eq!((fit.slope, fit.intercept, fit.residual), (slope, intercept, residual));
    assert_eq!(fit.at(10.0), intercept + 10.0 * slope);
}

#[rstest]
#[case::none(&[])]
#[case::one(&[(1.0, 1.0)])]
#[case::same_x(&[(1.0, 1.0), (1.0, 2.0)])]
fn no_line_without_two_different_x(#[case] points: &[(f64, f64)]) {
    assert_eq!(LinearFit::of(points), None);
}

#[test]
fn a_table_of_points_is_read_back() {
    let slope = slope(&[(4.0, 1_250.0), (12.0, 0.5)]);

    let text = slope.to_csv();

    assert_eq!(text, "nodes,bytes/s\n4,1250\n12,0.5\n");
    assert_eq!(MeasuredSlope::from_csv("bytes", &text), Some(slope));
    assert_eq!(MeasuredSlope::from_csv("bytes", "nodes,bytes/s\n4,many\n"), None);
}

#[test]
fn lines_show_points_and_fit() {
    let text = slope(&[(0.0, 1.0), (2.0, 5.0)]).to_lines();

    let lines: Vec<_> = text.lines().collect();
    assert_eq!(lines[1], "  points 0: 1, 2: 5");
    assert_eq!(lines[2], "  fit slope=2 intercept=1 residual=0");
}

#[test]
fn the_picture_has_a_mark_a_point() {
    let text = draw(&slope(&[(1.0, 1.0), (2.0, 3.0), (3.0, 2.0)])).expect("a picture");

    assert_eq!(text.matches("<circle").count(), 3);
}

#[rstest]
#[case("1500000 20 3\n", Some(Duration::from_micros(1_500)))]
#[case("", None)]
#[case("many 1 1", None)]
fn processor_time_is_the_first_field(#[case] text: &str, #[case] expected: Option<Duration>) {
    assert_eq!(processor_clock::parse(text), expected);
}
