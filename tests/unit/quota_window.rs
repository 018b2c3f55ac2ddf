use super::QuotaWindow;

#[test]
fn windows_are_contiguous() {
    let window = QuotaWindow::at(9.0, 4.0, 0.5);
    assert_eq!((window.number, window.age, window.length), (2, 3.0, 4.0));
    assert_eq!(QuotaWindow::at(10.0, 4.0, 0.5), QuotaWindow { number: 3, age: 0.0, length: 4.0 });
}

#[test]
fn time_before_first_window_belongs_to_it() {
    assert_eq!(QuotaWindow::at(-9.0, 4.0, 0.5), QuotaWindow { number: 0, age: 0.0, length: 4.0 });
}
