export * from './DaemonFacade.js'
export * from './AdminServer.js'
export * from './replies.js'
export * from './adminRoutes.js'
