"""Former texts, kept plain as references that the present ones are held against."""
