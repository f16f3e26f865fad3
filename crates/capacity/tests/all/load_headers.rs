//! Load headers, including false ones.

use dragonflycart_capacity::{HeaderFault, LoadHeader};

/// Guards against a change of the order of the figures.
#[test]
fn figures_are_read_by_position() {
    let plain = LoadHeader::parse("3,1,24").unwrap();
    let paced = LoadHeader::parse(" 3 , 1 , 24 , 250 ").unwrap();

    assert_eq!((plain.running, plain.waiting, plain.slots, plain.pace), (3, 1, 24, None));
    assert_eq!(plain.requests(), 4);
    assert_eq!(paced.pace, Some(2.5));
}

/// Guards against a figure that takes the place of a bad one before it: slots that count as waiting
/// requests, or a pace that counts as slots.
#[test]
fn header_with_a_bad_figure_is_not_used() {
    let cases = [
        ("", HeaderFault::MissingFigure),
        ("3", HeaderFault::MissingFigure),
        ("3,1", HeaderFault::MissingFigure),
        ("3,,24,100", HeaderFault::MissingFigure),
        ("3,1,24,", HeaderFault::MissingFigure),
        ("x,1,24,100", HeaderFault::NotANumber),
        ("3,1.5,24", HeaderFault::NotANumber),
        ("3,1,24,fast", HeaderFault::NotANumber),
        ("3,-1,24", HeaderFault::Implausible),
        ("3,1,0", HeaderFault::Implausible),
        ("3,1,24,0", HeaderFault::Implausible),
        ("3,1,24,-100", HeaderFault::Implausible),
        ("3,1,24,NaN", HeaderFault::Implausible),
        ("3,1,24,inf", HeaderFault::Implausible),
        ("3,1,24,10001", HeaderFault::Implausible),
        ("100001,1,24,100", HeaderFault::Implausible),
    ];

    for (text, fault) in cases {
        assert_eq!(LoadHeader::parse(text), Err(fault), "{text}");
    }
}
