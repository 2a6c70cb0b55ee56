; What operators may switch on beside the platform's configuration: PROXY_OPERATORS names a file like this one.
; A section that is not there is off, and nothing of it is loaded.

; Write the traffic that the gateway meets to a file of a bounded size, for `mapleshunt record show` and
; `mapleshunt model fit`. Customers are hashed with the salt, which is the same at all gateways.
(record
  (file "/var/tmp/mapleshunt.rec")
  (size-mb 16)
  (salt "change me"))

; Keep copies of what gateways promise on several of them. All gateways of the fleet are named, this one too; the
; folder is its own, on a disk that outlives the process. One without the other is of no use: see docs/copies.md.
;
; (copies
;   (fleet "jakarta")
;   (folder "/var/lib/mapleshunt/{name}")
;   (groups 8)
;   (size 3)
;   (replace-after-s 600)
;   (settle-after-s 600)
;   (transfer-kb-per-s 8192)
;   (peer (name "n0") (address "10.0.0.4:7100") (zone "a"))
;   (peer (name "n1") (address "10.0.0.5:7100") (zone "b"))
;   (peer (name "n2") (address "10.0.0.6:7100") (zone "c")))

; Take machines out for work one after another; needs (copies ...). See docs/maintenance.md.
;
; (maintenance
;   (most 2)
;   (zone 1)
;   (pause-s 30)
;   (drain-s 60)
;   (closed (begin 1798675200) (end 1798761600)))
