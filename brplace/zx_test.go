package brplace
import ("testing";"time";"fmt")
var probe func(*replayRun)
func TestZY(t *testing.T){
 ms:=time.Millisecond
 c:=callReplay{daemons:400,endpoints:2,work:30*ms,speeds:[]float64{1},load:1.2}
 probe=func(r *replayRun){
   fr:=0.0; rj:=0.0
   for _,s:=range r.states { fr+=s.services["s"].rates.admission.fraction/400; rj+=s.services["s"].rates.admission.rejected/400}
   for _,d:=range []int{0,7} {
   s:=r.states[d]; v:=s.services["s"]
   line:=fmt.Sprintf("%d %5.2f streams %d ont %d late %d rej %d notrun %d decide %v work %v age %v frac %.2f (all %.2f) mean %.2f rejd %.2f (%.2f) S %.0f est/real:",d,r.now.Seconds(),r.streams,r.byRank[2].onTime,r.byRank[2].late,r.rejected,r.notRun,v.rates.decide,v.rates.work/1e6,s.countsAge/1e6,v.rates.admission.fraction,fr,v.rates.admission.mean,v.rates.admission.rejected,rj,v.rates.admission.startRate)
   tot:=0.0
   for i:=range r.endpoints { e:=s.endpoints[fmt.Sprintf("e%03d",i)]; tot+=e.flow.capacity; line+=fmt.Sprintf(" %d/%d(%.0f)",e.active(),r.running[i]+len(r.queues[i]),e.flow.capacity)}
   t.Log(line, fmt.Sprintf("C %.0f",tot))
   }
 }
 c.run()
 probe=nil
}
