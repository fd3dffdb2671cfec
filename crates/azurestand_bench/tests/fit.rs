//! Lines through measured points.

use azurestand_bench::slopes::{Point, Slope};

fn points(places: &[(f64, f64)]) -> Vec<Point> {
    places.iter().map(|&(x, y)| Point { x, y }).collect()
}

#[test]
fn a_straight_line_is_found_and_a_point_off_it_is_told() {
    let line = points(&[(1.0, 5.0), (2.0, 7.0), (3.0, 9.0), (4.0, 11.0)]);
    let fit = Slope::fit("a", "us", "call", line);
    assert!((fit.slope - 2.0).abs() < 1e-9);
    assert!((fit.base - 3.0).abs() < 1e-9);
    assert!(fit.residual < 1e-9);
    let bent = points(&[(1.0, 5.0), (2.0, 7.0), (3.0, 9.0), (4.0, 20.0)]);
    assert!(Slope::fit("a", "us", "call", bent).residual > 0.1);
}

#[test]
fn one_size_alone_has_no_slope() {
    let fit = Slope::fit("a", "us", "call", points(&[(2.0, 8.0), (2.0, 10.0)]));
    assert!(fit.slope.abs() < 1e-9);
    assert!((fit.base - 9.0).abs() < 1e-9);
    assert!(Slope::fit("a", "us", "call", Vec::new()).base.abs() < 1e-9);
}
