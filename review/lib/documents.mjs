// Documents and names in the platform's formats that the cases share.
import { readFileSync } from 'node:fs'
import { join } from 'node:path'

export const documents = JSON.parse(readFileSync(join(import.meta.dirname, 'documents.json'), 'utf8'))

export const { routes } = documents
