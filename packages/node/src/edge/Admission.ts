/** Turns checked calls into admitted requests, or refuses them. */
import { randomUUID } from 'node:crypto'

import { OutcomeKind } from '@bluebellhill/domain'
import type { Millis, RequestId, RequestSpec, Tokens } from '@bluebellhill/domain'
import { renderPrompt } from '@bluebellhill/services'
import type { ResolvedTemplate } from '@bluebellhill/services'
import { EventKind } from '@bluebellhill/protocol'

import { monotonicNow } from '../clock/monotonic.js'
import { serviceModelName } from '../dispatch/PlainServiceMonitor.js'
import type { LimitedRequest, OrganisationLimits } from '../limits/index.js'
import type { PrefixHasher } from '../requests/PrefixHasher.js'
import type { TokenEstimator } from '../requests/TokenEstimator.js'
import type { TimeLine } from '../timeline/index.js'
import { RefusedCall } from './errors.js'
import type { KnownOrganisation } from './Organisations.js'
import type { CompletionCall } from './types.js'

const STOPPING_RETRY_AFTER_MS = 1_000
const FULL_RETRY_AFTER_MS = 1_000

/** Bounds of one entry node's admission. */
export interface AdmissionLimits {
  /** Requests in progress at the most. */
  readonly requests: number
  readonly longestDeadline: Millis
}

/** What admission works with. */
export interface AdmissionParts {
  readonly hasher: PrefixHasher
  readonly estimator: TokenEstimator
  readonly timeLine: TimeLine
  readonly limits: AdmissionLimits
  readonly organisationLimits: OrganisationLimits
  /** Tokens in one block of a model's prefix cache. */
  readonly blockTokens: (model: string) => Tokens
  /** Whether the node takes new work. */
  readonly isOpen: () => boolean
  /** Requests in progress. */
  readonly inProgress: () => number
}

/** A call to a plain service, as far as templates look at it. */
export interface ServiceTarget {
  readonly service: string
  readonly method: string
  readonly path: string
}

/** An admitted request with the places that it takes under its limits. */
export interface AdmittedCall {
  readonly spec: RequestSpec
  readonly limited: LimitedRequest
}

/** An admitted completion with the prompt that the engine gets. */
export interface AdmittedCompletion extends AdmittedCall {
  readonly prompt: string
}

type Dispatched = Pick<RequestSpec, 'model' | 'version' | 'adapter' | 'promptTokens' | 'maxTokens' | 'prefix'>

/** Admits requests. */
export class Admission {
  readonly #parts: AdmissionParts

  constructor (parts: AdmissionParts) {
    this.#parts = parts
  }

  /**
   * Admits a completion.
   *
   * @param caller - whose request it is
   * @param call - the checked call
   * @param limit - the caller's own time limit, or null
   * @returns the admitted request
   * @throws RefusedCall where no template fits, the prompt is too long or the node takes no more work
   */
  completion (caller: KnownOrganisation, call: CompletionCall, limit: Millis | null): AdmittedCompletion {
    const template = caller.configuration.templateFor(caller.organisation, call.model)
    if (template?.model == null) throw new RefusedCall(OutcomeKind.UnknownModel, `no template for "${call.model}"`)
    const prompt = promptOf(template, call)
    const admitted = this.#admit(caller, template, limit, this.#dispatched(template, template.model, prompt, call))
    return { ...admitted, prompt }
  }

  /**
   * Admits a call to a plain service.
   *
   * @param caller - whose call it is
   * @param target - what is called
   * @param limit - the caller's own time limit, or null
   * @returns the admitted request
   * @throws RefusedCall where no template fits or the node takes no more work
   */
  service (caller: KnownOrganisation, target: ServiceTarget, limit: Millis | null): AdmittedCall {
    const { service, method, path } = target
    const template = caller.configuration.serviceTemplateFor(caller.organisation, service, method, path)
    if (template === null) throw new RefusedCall(OutcomeKind.UnknownRoute, `no template for ${method} on the service "${service}"`)
    return this.#admit(caller, template, limit, { model: serviceModelName(service), version: null, adapter: null, promptTokens: 1, maxTokens: 0, prefix: [] })
  }

  #dispatched (template: ResolvedTemplate, model: string, prompt: string, call: CompletionCall): Dispatched {
    const promptTokens = this.#parts.estimator.estimate(model, Buffer.byteLength(prompt))
    const most = template.maxPromptTokens
    if (most !== null && promptTokens > most) throw new RefusedCall(OutcomeKind.TooLarge, `about ${promptTokens} prompt tokens, ${most} are allowed`)
    return {
      model,
      version: template.version,
      adapter: template.adapter,
      promptTokens,
      maxTokens: call.maxTokens ?? template.maxTokens,
      prefix: this.#parts.hasher.hashBlocks(prompt, this.#parts.blockTokens(model))
    }
  }

  #admit (caller: KnownOrganisation, template: ResolvedTemplate, limit: Millis | null, dispatched: Dispatched): AdmittedCall {
    this.#checkOpen()
    const limited = this.#takePlaces(caller, template, dispatched)
    const admittedAt = monotonicNow()
    const allowed = Math.min(template.deadline, limit ?? Infinity, this.#parts.limits.longestDeadline)
    const spec: RequestSpec = {
      ...dispatched,
      id: `req-${randomUUID()}` as RequestId,
      organisation: caller.id,
      template: template.name,
      urgency: template.urgency,
      idempotent: template.idempotent,
      admittedAt,
      deadline: admittedAt + allowed
    }
    this.#record(spec, allowed)
    return { spec, limited }
  }

  #takePlaces (caller: KnownOrganisation, template: ResolvedTemplate, { promptTokens, maxTokens }: Dispatched): LimitedRequest {
    const result = this.#parts.organisationLimits.admit({ organisation: caller.id, template: template.name, tokens: promptTokens + maxTokens })
    if (result.type === 'admitted') return result.request
    const { bound, reason, retryAfter } = result.refusal
    throw new RefusedCall(OutcomeKind.OrganisationLimit, `${bound}: ${reason}`, retryAfter)
  }

  #checkOpen (): void {
    if (!this.#parts.isOpen()) throw new RefusedCall(OutcomeKind.Stopping, 'the node is stopping', STOPPING_RETRY_AFTER_MS)
    if (this.#parts.inProgress() >= this.#parts.limits.requests) {
      throw new RefusedCall(OutcomeKind.Overloaded, 'the node has as many requests in progress as it may', FULL_RETRY_AFTER_MS)
    }
  }

  #record (spec: RequestSpec, limit: Millis): void {
    this.#parts.timeLine.record(EventKind.RequestAdmitted, { request: spec.id, organisation: spec.organisation }, '', {
      template: spec.template,
      model: spec.model,
      promptTokens: spec.promptTokens,
      maxTokens: spec.maxTokens,
      limit,
      idempotent: spec.idempotent,
      urgency: spec.urgency
    })
  }
}

const promptOf = (template: ResolvedTemplate, call: CompletionCall): string => {
  const rendered = renderPrompt(template.source, call.parameters, call.prompt)
  if (!rendered.ok) throw new RefusedCall(OutcomeKind.BadRequest, rendered.failure)
  return rendered.value
}
