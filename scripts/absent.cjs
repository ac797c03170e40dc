// Replaces optional native add-ons in the bundle. The packages that require them catch the error and work without.
throw new Error('This optional native add-on is not part of the bundle.');
