/** Entry of the package. */
export {}
