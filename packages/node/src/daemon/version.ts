/** Version that the daemon reports to operators. */
export const VERSION = '0.1.0'
