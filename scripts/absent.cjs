// Stands in for an optional native add-on: its users catch the error and go on without it.
throw new Error('This optional add-on is not part of the program.');
